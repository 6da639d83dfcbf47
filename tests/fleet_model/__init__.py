"""A model of the whole fleet: random histories, and a judge of the rules."""
