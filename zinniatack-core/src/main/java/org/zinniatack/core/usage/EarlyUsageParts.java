package org.zinniatack.core.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The parts of reports that witnesses sent before the report itself came. They are taken
 * off the report when it comes after all.
 */
final class EarlyUsageParts {

	private static final int SOURCES_KEPT = 1_024;

	private final Map<String, TreeMap<Long, Counted>> bySource = new LinkedHashMap<>();

	/** Returns the parts of a stored form. */
	static EarlyUsageParts of(List<UsagePart> image) {
		EarlyUsageParts parts = new EarlyUsageParts();
		image.forEach(parts::add);
		return parts;
	}

	/** Takes a part over; returns false if it was taken over before. */
	boolean add(UsagePart part) {
		Counted counted = this.bySource.computeIfAbsent(part.source(), (absent) -> new TreeMap<>())
			.computeIfAbsent(part.sequence(), (absent) -> new Counted());
		if (!counted.ids.add(part.part())) {
			return false;
		}
		counted.parts.add(part);
		if (this.bySource.size() > SOURCES_KEPT) {
			this.bySource.remove(this.bySource.keySet().iterator().next());
		}
		return true;
	}

	/** Returns what a report counts beyond its parts, and forgets them. */
	List<UsageFigure> subtractFrom(String source, long sequence, List<UsageFigure> figures) {
		TreeMap<Long, Counted> ofSource = this.bySource.get(source);
		if (ofSource == null) {
			return figures;
		}
		Counted counted = ofSource.getOrDefault(sequence, new Counted());
		ofSource.headMap(sequence, true).clear();
		if (ofSource.isEmpty()) {
			this.bySource.remove(source);
		}
		return figures.stream().map(counted::subtractFrom).filter((figure) -> !figure.isNothing()).toList();
	}

	/** Returns the stored form. */
	List<UsagePart> image() {
		List<UsagePart> image = new ArrayList<>();
		this.bySource.values().forEach((reports) -> reports.values().forEach((counted) -> image.addAll(counted.parts)));
		return image;
	}

	/** The parts of one report. */
	private static final class Counted {

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
