package org.zinniatack.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Routes by consistent hashing with bounded loads. A prefix maps to a position on a hash
 * ring of targets. The request goes to the first target from there whose load is at most
 * the least load of a random sample plus a slack. Without a prefix it goes to the least
 * loaded target of the sample.
 *
 * @param <C> the type of a target
 */
final class PrefixAffinityRouter<C extends Candidate> implements Router<C> {

	private static final int POINTS_PER_TARGET = 8;

	private static final int MAXIMUM_RING_PROBES = 4;

	private static final int SAMPLE_SIZE = 3;

	static final double DEFAULT_LOAD_SLACK = 0.25;

	/**
	 * Load added to targets outside the home failure domain when targets are compared.
	 */
	private static final double REMOTE_DOMAIN_PENALTY = 0.05;

	private final String homeFailureDomain;

	private final RandomGenerator random;

	private final double loadSlack;

	private List<C> targets = List.of();

	private long[] points = new long[0];

	private int[] owners = new int[0];

	PrefixAffinityRouter(String homeFailureDomain, RandomGenerator random, double loadSlack) {
		this.homeFailureDomain = homeFailureDomain;
		this.random = random;
		this.loadSlack = loadSlack;
	}

	@Override
	public void updateTargets(List<C> all) {
		this.targets = List.copyOf(all);
		List<long[]> ring = new ArrayList<>();
		for (int owner = 0; owner < this.targets.size(); owner++) {
			long hash = Hashing.of(this.targets.get(owner).targetId());
			for (int point = 0; point < POINTS_PER_TARGET; point++) {
				ring.add(new long[] { Hashing.combine(hash, point), owner });
			}
		}
		ring.sort(Comparator.comparingLong((entry) -> entry[0]));
		this.points = ring.stream().mapToLong((entry) -> entry[0]).toArray();
		this.owners = ring.stream().mapToInt((entry) -> (int) entry[1]).toArray();
	}

	@Override
	public Optional<C> choose(long prefixHash) {
		Optional<C> sampled = leastLoadedOfSample();
		if (prefixHash == 0 || this.targets.isEmpty()) {
			return sampled.or(this::anyAvailable);
		}
		double maximumLoad = sampled.map(this::cost).orElse(1.0) + this.loadSlack;
		return firstOnRing(prefixHash, maximumLoad).or(() -> sampled).or(this::anyAvailable);
	}

	private Optional<C> firstOnRing(long prefixHash, double maximumLoad) {
		int searchResult = Arrays.binarySearch(this.points, prefixHash);
		int start = (searchResult >= 0) ? searchResult : -searchResult - 1;
		for (int step = 0; step < Math.min(MAXIMUM_RING_PROBES, this.points.length); step++) {
			C target = this.targets.get(this.owners[(start + step) % this.points.length]);
			if (target.isAvailable() && target.load() <= maximumLoad) {
				return Optional.of(target);
			}
		}
		return Optional.empty();
	}

	private Optional<C> leastLoadedOfSample() {
		C best = null;
		for (int draw = 0; draw < Math.min(SAMPLE_SIZE, this.targets.size()); draw++) {
			C target = this.targets.get(this.random.nextInt(this.targets.size()));
			if (target.isAvailable() && (best == null || cost(target) < cost(best))) {
				best = target;
			}
		}
		return Optional.ofNullable(best);
	}

	private double cost(C target) {
		return target.load() + (target.failureDomain().equals(this.homeFailureDomain) ? 0 : REMOTE_DOMAIN_PENALTY);
	}

	/**
	 * Scans all targets from a random position, for when no sampled target is available.
	 */
	private Optional<C> anyAvailable() {
		int size = this.targets.size();
		int first = (size > 0) ? this.random.nextInt(size) : 0;
		for (int step = 0; step < size; step++) {
			C target = this.targets.get((first + step) % size);
			if (target.isAvailable()) {
				return Optional.of(target);
			}
		}
		return Optional.empty();
	}

}
