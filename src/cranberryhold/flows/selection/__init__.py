"""Selection of the targets that new flows are offered to."""
