"""Count the work of a call by the instructions that the interpreter executes for it."""

import sys


def count_instructions(function, *args):
    """Call a function; return how many bytecode instructions ran, which no load changes."""
    count = 0

    def trace(frame, event, _arg):
        nonlocal count
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        if event == "opcode":
            count += 1
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function(*args)
    finally:
        sys.settrace(before)
    return count
