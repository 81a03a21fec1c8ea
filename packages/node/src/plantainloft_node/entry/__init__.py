"""The process of an entry instance: its settings, its components and how they are wired."""
