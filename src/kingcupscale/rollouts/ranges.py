"""Encodes sets of group numbers as lists of inclusive ranges."""

from collections.abc import Iterable

Ranges = list[list[int]]


def to_ranges(numbers: Iterable[int]) -> Ranges:
    """Returns numbers as ordered ranges, such as ``[[0, 4], [7, 7]]``."""
    ranges: Ranges = []
    for number in sorted(set(numbers)):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def from_ranges(ranges: Ranges, known: Iterable[int]) -> set[int]:
    """Returns the known numbers that are in the ranges."""
    return {
        number
        for number in known
        if any(first <= number <= last for first, last in ranges)
    }
