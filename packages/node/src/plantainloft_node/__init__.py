"""The plantainloft entry instance: look-ups, request forwarding and membership."""
