package org.zinniatack.core.directory;

import java.util.Set;

/**
 * The evacuated failure domains, as a process knows them.
 *
 * @param index the log index of the last command that is included
 * @param domains the failure domains to whose targets nothing is sent
 */
public record Evacuations(long index, Set<String> domains) {

	/** No failure domains, as known before the state is restored. */
	public static final Evacuations NONE = new Evacuations(0, Set.of());

	/**
	 * Copies the domains.
	 */
	public Evacuations {
		domains = Set.copyOf(domains);
	}

}
