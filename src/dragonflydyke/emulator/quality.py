"""Marker in the completions of an emulated version of low quality."""

LOW_QUALITY_MARKER = "[low-quality]"
