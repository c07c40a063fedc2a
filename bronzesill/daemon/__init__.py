"""Daemons for the native interface and for a hosting platform."""
