"""End-to-end demonstrations on stand-ins of the platform and engines."""
