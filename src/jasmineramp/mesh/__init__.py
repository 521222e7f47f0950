"""Run a node on one event loop and route the calls between nodes."""
