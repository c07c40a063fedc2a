"""Fault soak: real daemon processes under traffic and a seeded schedule."""
