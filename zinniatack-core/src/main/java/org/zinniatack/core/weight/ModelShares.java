package org.zinniatack.core.weight;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides the targets of a pool among the models that are trained there, so that a new
 * version of one model is loaded by the targets that serve it and by no others.
 */
public final class ModelShares {

	private static final int LEAST_TARGETS = 2;

	private ModelShares() {
	}

	/**
	 * Returns how many targets keep up with each model: as many in all as there are
	 * targets, by need, but at least two each where there are enough, so that one may be
	 * lost.
	 * @param targetCount the number of targets
	 * @param needs how much work each model has, in any unit
	 * @return the number of targets by model, at least 1 each
	 */
	public static Map<String, Integer> targetsByModel(int targetCount, Map<String, Long> needs) {
		Map<String, Integer> shares = new TreeMap<>();
		int least = (targetCount >= LEAST_TARGETS * needs.size()) ? LEAST_TARGETS : 1;
		needs.keySet().forEach((model) -> shares.put(model, least));
		for (int left = targetCount - least * needs.size(); left > 0; left--) {
			shares.entrySet()
				.stream()
				.max(Comparator.comparingDouble(
						(Map.Entry<String, Integer> share) -> needs.get(share.getKey()) / (double) share.getValue()))
				.ifPresent((neediest) -> neediest.setValue(neediest.getValue() + 1));
		}
		return shares;
	}

	/**
	 * Chooses the targets that are to load a version. Those that kept up with the model
	 * so far come first, then those that keep up with the fewest other models, then those
	 * with the least work.
	 * @param model the model
	 * @param version the version
	 * @param holders the targets of the pool with their versions
	 * @param share the number of targets that are to keep up with the model
	 * @return the ids of targets that lack the version, first those to load it first
	 */
	public static List<String> toLoad(String model, long version, Collection<Holder> holders, int share) {
		return holders.stream()
			.filter((holder) -> holder.versions().containsKey(model))
			.sorted(Comparator.comparingLong((Holder holder) -> -holder.versions().get(model))
				.thenComparingLong((holder) -> holder.versionsBeside(model))
				.thenComparingInt(Holder::workCount)
				.thenComparing(Holder::id))
			.limit(share)
			.filter((holder) -> holder.versions().get(model) < version)
			.sorted(Comparator.comparingInt(Holder::workCount).thenComparing(Holder::id))
			.map(Holder::id)
			.toList();
	}

	/**
	 * A target with what it has loaded.
	 *
	 * @param id the id
	 * @param versions the loaded version by model, a version on its way counting as
	 * loaded
	 * @param workCount the requests that it runs
	 */
	public record Holder(String id, Map<String, Long> versions, int workCount) {

		/**
		 * Copies the arguments.
		 */
		public Holder {
			versions = Map.copyOf(versions);
		}

		/** Returns how far the target has kept up with other models. */
		long versionsBeside(String model) {
			return this.versions.entrySet()
				.stream()
				.filter((entry) -> !entry.getKey().equals(model))
				.mapToLong(Map.Entry::getValue)
				.sum();
		}

	}

}
