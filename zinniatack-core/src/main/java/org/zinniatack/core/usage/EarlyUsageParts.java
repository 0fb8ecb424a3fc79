package org.zinniatack.core.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Parts of usage reports that backups sent before the report itself arrived. They are
 * subtracted if the report arrives after all.
 */
final class EarlyUsageParts {

	private static final int MAX_SOURCES = 1_024;

	private final Map<String, TreeMap<Long, ReportParts>> bySource = new LinkedHashMap<>();

	/** Restores the parts from their stored form. */
	static EarlyUsageParts of(List<UsagePart> image) {
		EarlyUsageParts parts = new EarlyUsageParts();
		image.forEach(parts::add);
		return parts;
	}

	/** Adds a part; returns false if it was added before. */
	boolean add(UsagePart part) {
		ReportParts reportParts = this.bySource.computeIfAbsent(part.source(), (absent) -> new TreeMap<>())
			.computeIfAbsent(part.sequence(), (absent) -> new ReportParts());
		if (!reportParts.ids.add(part.part())) {
			return false;
		}
		reportParts.parts.add(part);
		if (this.bySource.size() > MAX_SOURCES) {
			this.bySource.remove(this.bySource.keySet().iterator().next());
		}
		return true;
	}

	/**
	 * Returns the figures of a report without the usage of its parts. Drops the parts of
	 * this and earlier reports of the source.
	 */
	List<UsageFigure> subtractFrom(String source, long sequence, List<UsageFigure> figures) {
		TreeMap<Long, ReportParts> partsByReport = this.bySource.get(source);
		if (partsByReport == null) {
			return figures;
		}
		ReportParts reportParts = partsByReport.getOrDefault(sequence, new ReportParts());
		partsByReport.headMap(sequence, true).clear();
		if (partsByReport.isEmpty()) {
			this.bySource.remove(source);
		}
		return figures.stream().map(reportParts::subtractFrom).filter((figure) -> !figure.isNothing()).toList();
	}

	/** Returns the stored form. */
	List<UsagePart> image() {
		List<UsagePart> image = new ArrayList<>();
		this.bySource.values()
			.forEach((reports) -> reports.values().forEach((reportParts) -> image.addAll(reportParts.parts)));
		return image;
	}

	/** The parts of one report. */
	private static final class ReportParts {

		private final Set<String> ids = new HashSet<>();

		private final List<UsagePart> parts = new ArrayList<>();

		private UsageFigure subtractFrom(UsageFigure whole) {
			return this.parts.stream()
				.flatMap((part) -> part.figures().stream())
				.filter((part) -> part.usageKey().equals(whole.usageKey()))
				.reduce(whole, UsageFigure::minus);
		}

	}

}
