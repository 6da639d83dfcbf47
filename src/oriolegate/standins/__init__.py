"""Small emulators of the platform and of upstreams."""
