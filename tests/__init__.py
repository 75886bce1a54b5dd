"""Tests of dragonflydyke."""
