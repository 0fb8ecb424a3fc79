package org.zinniatack.core.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.zinniatack.core.directory.LeftTarget;

/**
 * The targets that left lately, oldest first. They are kept for as long as an
 * announcement may arrive late.
 *
 * @param byKey the targets by the key of their start
 */
record LeftTargets(Map<String, LeftTarget> byKey) {

	private static final long RETENTION_MS = 120_000;

	private static final int MAX_COUNT = 1_024;

	static LeftTargets of(List<LeftTarget> targets) {
		Map<String, LeftTarget> byKey = new LinkedHashMap<>();
		targets.forEach((target) -> byKey.put(target.key(), target));
		return new LeftTargets(Collections.unmodifiableMap(byKey));
	}

	/** Returns these targets with another, without those that left long before it. */
	LeftTargets with(LeftTarget left) {
		if (this.byKey.containsKey(left.key())) {
			return this;
		}
		List<LeftTarget> kept = new ArrayList<>(this.byKey.values());
		kept.removeIf((other) -> left.leftAtMs() - other.leftAtMs() > RETENTION_MS);
		kept.add(left);
		return of(kept.subList(Math.max(0, kept.size() - MAX_COUNT), kept.size()));
	}

}
