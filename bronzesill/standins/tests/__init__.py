"""Tests of :mod:`bronzesill.standins`."""
