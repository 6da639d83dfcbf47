"""Load and fault scenarios, each measured with the policy on and off."""
