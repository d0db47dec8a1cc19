"""Environment variables of a daemon, shared by several tests."""

RING = "1:" + "00" * 32
ENTRY = {
    "CRANBERRYHOLD_NODE_ID": "entry-1",
    "CRANBERRYHOLD_ZONE": "lalitpur",
    "CRANBERRYHOLD_REGION": "np",
    "CRANBERRYHOLD_CONTROL_ADDRESS": "127.0.0.1:7000",
    "CRANBERRYHOLD_KEYS": RING,
    "CRANBERRYHOLD_FORWARD_ADDRESS": "127.0.0.1:7001",
}
