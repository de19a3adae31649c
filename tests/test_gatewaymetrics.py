from robinspindle.ends import End
from robinspindle.gatewaymetrics import GatewayMetrics
from robinspindle.metrics import format_metrics


def show(metrics):
    return format_metrics(metrics.registry).decode()


def test_sendings_are_counted_by_service_and_by_target():
    metrics = GatewayMetrics()
    metrics.count_try("push", "i1", End.DELIVERED.value)
    text = show(metrics)
    assert 'robinspindle_tries_total{end="delivered",service="push"} 1.0' in text
    assert 'robinspindle_target_tries_total{end="delivered",target="i1"} 1.0' in text


def test_the_figures_of_the_process_come_before_the_counts_by_target():
    """Collectors cut long pages off, and the version in force is asked for first."""
    metrics = GatewayMetrics()
    for number in range(200):
        metrics.count_try("push", f"i{number}", End.DELIVERED.value)
    lines = show(metrics).splitlines()
    first_count = next(i for i, line in enumerate(lines) if "target_tries" in line)
    for name in ("configuration_version", "configuration_age_seconds"):
        assert any(f"robinspindle_{name} " in line for line in lines[:first_count])


def test_the_counts_of_a_target_that_is_gone_are_dropped():
    metrics = GatewayMetrics()
    metrics.count_try("push", "i1", End.FAULT.value)
    metrics.count_try("push", "i2", End.FAULT.value)
    metrics.forget_target("i1")
    text = show(metrics)
    assert 'target="i1"' not in text
    assert 'target="i2"' in text
    assert 'robinspindle_tries_total{end="fault",service="push"} 2.0' in text
