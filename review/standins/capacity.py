"""The machines that the cloud of ovpu-farm-auction has to give, as its site file says."""

OVPU = {
    ("ring-clerk", "madison-yard", False): 7,
    ("ring-clerk", "madison-yard", True): 6,
    ("ring-clerk", "watkinsville-office", False): 10,
    ("ring-clerk", "watkinsville-office", True): 8,
    ("yard-hauler", "madison-yard", False): 2,
    ("yard-hauler", "madison-yard", True): 2,
    ("yard-hauler", "watkinsville-office", False): 2,
    ("yard-hauler", "watkinsville-office", True): 3,
}
