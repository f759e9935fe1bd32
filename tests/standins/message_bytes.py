"""Encode protocol buffer fields by hand, also such as no codec would write."""


def varint(value):
    out = b""
    while value > 127:
        out += bytes([value & 127 | 128])
        value >>= 7
    return out + bytes([value])


def text(field, value):
    value = value if isinstance(value, bytes) else value.encode()
    return varint(field << 3 | 2) + varint(len(value)) + value


def number(field, value):
    return varint(field << 3) + varint(value)
