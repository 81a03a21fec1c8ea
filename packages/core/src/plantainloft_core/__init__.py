"""Configuration model, load balancing and outcome types shared by all parts."""
