"""Renders a timeline as an HTML page, as text, or as JSON for programs. It only shows what the timeline
holds."""
