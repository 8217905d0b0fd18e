"""The users' platform: translates its names, formats and calls.

Nothing here makes decisions, and all other code knows only the types that these
modules return. docs/GLOSSARY.md maps the platform's names to the product's.
"""
