"""Texts and values that a settings file may come to hold, the longest and deepest."""

from hypothesis import strategies as st

DEEP = 5000

NUMBERS = ["inf", "-inf", "nan", "-1", "0", "1e400", "-0.0", "1e308", "9" * 5000]
NUMBERS += ["0x" + "f" * 5000, "9" * 400, "1e-320", "99999999999999999999"]
PORTS = ["9" * 5000, "0" * 5000 + "80", "\uff18\uff10", "0", "65536", "-1", "8 0", ""]

odd_values = st.one_of(
    st.sampled_from(NUMBERS),
    st.sampled_from([f'"10.1.0.35:{port}"' for port in PORTS]),
    st.sampled_from(['""', '"x"', f'"{"n" * 100_000}"', '"a:1"', '"\uff11.1.1.1:80"']),
    st.sampled_from(["[]", "[1]", "[2,1]", "[0,70000]", "[1.5,2]", "{}", "true"]),
    st.sampled_from(["[" * DEEP + "]" * DEEP, "{a=" * DEEP + "1" + "}" * DEEP]),
    st.sampled_from(
        ["1979-05-27", "0000-00-00", "''' '''", "x", "", "a" + ".a" * DEEP]
    ),
    st.text(max_size=30),
    st.floats().map(repr),
    st.integers().map(str),
)

GOOD = {
    "Node": '"front-a-1"',
    "Zone": '"a"',
    "Ip": '"10.1.0.35"',
    "InternalPorts": "[7660,7675]",
    "Listen.Front": '"10.1.0.35:8144"',
    "Listen.Ready": '"10.1.0.35:8140"',
    "Limits.MemoryMb": "300",
    "Limits.LinkMbps": "10.0",
    "Limits.CpuShare": "0.8",
    "Limits.Cores": "1",
    "Bounds.DrainMs": "3000",
    "Bounds.GraceS": "8",
    "Bounds.ConfigApplyMs": "2000",
    "Bounds.RetryBudgetRatio": "0.2",
    "Bounds.RetryBudgetSlack": "50",
    "Bounds.BudgetWindowS": "10",
    "Bounds.LeaseMs": "3000",
    "Bounds.RevokeStrict": "true",
    "Bounds.RevokeMs": "3000",
    "Bounds.ReportWindowS": "5",
    "Bounds.UsageLateS": "5",
    "Cloud.Duties": '["usage"]',
    "Cloud.Address": '"10.200.1.7:8142"',
    "Platform.Address": '"10.200.1.7:8142"',
}


def write_toml(values):
    return "".join(f"{key} = {value}\n" for key, value in values.items())


keys = st.sampled_from(sorted(GOOD) + ["Listen", "Bounds", "Other", "Other.Deep"])
odd_settings = st.one_of(
    st.dictionaries(keys, odd_values, max_size=3).map(
        lambda odd: write_toml(GOOD | odd)
    ),
    st.text(max_size=200),
    st.integers(0, 700).map(lambda length: write_toml(GOOD)[:length]),
    st.sampled_from(["a" + ".a" * 60_000 + " = 1", "#" * 200_000, "x = [\n" * 20_000]),
)

odd_policies = st.one_of(
    st.text(max_size=200),
    st.sampled_from(["decisions", "zones", "x", "", "]"]).flatmap(
        lambda section: st.lists(
            st.tuples(
                st.sampled_from(["learns_paces", "delay_ms", "x" * 9000, "", "%(a)s"]),
                st.sampled_from(["on", "nan", "1e400", "-1", "9" * 9000, "", "\n on"]),
            ),
            max_size=4,
        ).map(
            lambda pairs: f"[{section}]\n" + "".join(f"{k} = {v}\n" for k, v in pairs)
        )
    ),
    st.sampled_from(["[decisions]\n" + "x\n" * 8000, "x" * 16_000]),
)
