"""Small stand-ins of what the fleet talks to, and the load that drives it."""
