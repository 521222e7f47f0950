"""Hold small fakes of the outside systems."""
