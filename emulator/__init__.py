"""Stand-ins for what surrounds the system: fabric, platform store, upstreams."""
