"""Query coordination: dispatch, retries, hedges, merging and coverage."""
