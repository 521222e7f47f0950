"""Hold stand-ins, load tools and measurements."""
