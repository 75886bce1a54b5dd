"""The marker by which emulated answers of a bad version are recognised."""

LOW_QUALITY_MARKER = "[low-quality]"
