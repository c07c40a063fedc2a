"""
Adapters between the platform's names, formats and calls and the product's own.

The package only translates; decisions are made by the packages that use it.
Its modules are imported by name, so that the program can read where to listen
before it loads the others.
"""
