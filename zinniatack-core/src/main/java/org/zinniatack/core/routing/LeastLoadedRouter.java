package org.zinniatack.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the least loaded of all available targets.
 *
 * @param <C> the type of a target
 */
final class LeastLoadedRouter<C extends Candidate> implements Router<C> {

	private List<C> targets = List.of();

	@Override
	public void updateTargets(List<C> all) {
		this.targets = List.copyOf(all);
	}

	@Override
	public Optional<C> choose(long prefixHash) {
		return this.targets.stream().filter(Candidate::isAvailable).min(Comparator.comparingDouble(Candidate::load));
	}

}
