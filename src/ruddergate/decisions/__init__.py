"""Decisions as pure logic: state and time go in, a value comes out."""
