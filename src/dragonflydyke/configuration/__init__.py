"""The configuration format: model, schema, loader and comparison."""
