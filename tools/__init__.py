"""Development tools: demo, benchmarks, experiments, capacity page and soak test."""
