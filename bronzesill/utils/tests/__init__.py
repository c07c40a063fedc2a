"""Tests of :mod:`bronzesill.utils`."""
