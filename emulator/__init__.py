"""Emulators of the surrounding systems: network fabric, platform, upstreams."""
