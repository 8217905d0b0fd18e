"""The users' platform: its names, formats and calls, decoded once.

Nothing here decides anything; everything else knows only the types that these
modules return. docs/GLOSSARY.md maps the platform's names to the product's.
"""
