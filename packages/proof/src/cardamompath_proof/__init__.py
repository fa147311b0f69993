"""Demo, benchmarks, scenarios and models; nothing here is deployed."""

__all__: list[str] = []
