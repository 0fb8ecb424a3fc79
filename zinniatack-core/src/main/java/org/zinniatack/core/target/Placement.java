package org.zinniatack.core.target;

import java.util.Collection;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Distributes targets over failure domains.
 */
public final class Placement {

	private Placement() {
	}

	/**
	 * Distributes targets evenly: the counts differ by at most one. Failure domains that
	 * come first in alphabetical order get the remainder.
	 * @param count the number of targets
	 * @param failureDomains the failure domains
	 * @return the number of targets by failure domain
	 */
	public static Map<String, Integer> spread(int count, Collection<String> failureDomains) {
		SortedSet<String> ordered = new TreeSet<>(failureDomains);
		Map<String, Integer> counts = new TreeMap<>();
		int position = 0;
		for (String failureDomain : ordered) {
			int extra = (position < count % ordered.size()) ? 1 : 0;
			counts.put(failureDomain, count / ordered.size() + extra);
			position++;
		}
		return counts;
	}

}
