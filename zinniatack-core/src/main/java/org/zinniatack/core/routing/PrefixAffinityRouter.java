package org.zinniatack.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Consistent hashing with a load bound. A prefix belongs to a position on a ring of
 * targets; the first target from there that is not much fuller than a random sample gets
 * the request. Without a prefix the less loaded of a few random targets does.
 *
 * @param <C> the type of a target
 */
final class PrefixAffinityRouter<C extends Candidate> implements Router<C> {

	private static final int POINTS_A_TARGET = 8;

	private static final int RING_TRIES = 4;

	private static final int SAMPLE_SIZE = 3;

	static final double DEFAULT_LOAD_SLACK = 0.25;

	private static final double FAR_PENALTY = 0.05;

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
			for (int point = 0; point < POINTS_A_TARGET; point++) {
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
		double bound = sampled.map(this::cost).orElse(1.0) + this.loadSlack;
		return ringOwner(prefixHash, bound).or(() -> sampled).or(this::anyAvailable);
	}

	private Optional<C> ringOwner(long prefixHash, double bound) {
		int found = Arrays.binarySearch(this.points, prefixHash);
		int at = (found >= 0) ? found : -found - 1;
		for (int step = 0; step < Math.min(RING_TRIES, this.points.length); step++) {
			C target = this.targets.get(this.owners[(at + step) % this.points.length]);
			if (target.isAvailable() && target.load() <= bound) {
				return Optional.of(target);
			}
		}
		return Optional.empty();
	}

	private Optional<C> leastLoadedOfSample() {
		C best = null;
		for (int drawn = 0; drawn < Math.min(SAMPLE_SIZE, this.targets.size()); drawn++) {
			C target = this.targets.get(this.random.nextInt(this.targets.size()));
			if (target.isAvailable() && (best == null || cost(target) < cost(best))) {
				best = target;
			}
		}
		return Optional.ofNullable(best);
	}

	private double cost(C target) {
		return target.load() + (target.failureDomain().equals(this.homeFailureDomain) ? 0 : FAR_PENALTY);
	}

	/** Looks at every target, from a random one on, when the sample had no room. */
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
