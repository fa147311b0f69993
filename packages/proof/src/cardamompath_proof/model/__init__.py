"""Models of the core protocol, explored by minicheck."""
