"""Tests of bergamothill."""
