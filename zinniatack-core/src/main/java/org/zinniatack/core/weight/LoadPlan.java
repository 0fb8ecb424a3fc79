package org.zinniatack.core.weight;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.zinniatack.core.weight.ModelShares.TargetVersions;

/**
 * Chooses the targets that load a new version of a model. Jobs accept versions that are
 * one behind, so the targets of a model take turns: half of them load each version, and
 * the other half serves the next step meanwhile. Twice as many targets so serve a model
 * with the same number of loads.
 */
public final class LoadPlan {

	/** Targets take turns in two halves. */
	private static final int TURNS = 2;

	private LoadPlan() {
	}

	/**
	 * Chooses the targets that are to load the newest version. The targets of the model
	 * are those that kept up with it so far, then those that keep up with the fewest
	 * other models, then those with the least work.
	 * @param need what the model needs
	 * @param holders the targets of the pool with their versions, one on its way counting
	 * as loaded
	 * @return the targets in the order of their loads
	 */
	public static List<Load> loads(Demand need, Collection<TargetVersions> holders) {
		List<TargetVersions> serving = holders.stream()
			.filter((holder) -> holder.versions().containsKey(need.model()))
			.sorted(Comparator.comparingLong((TargetVersions holder) -> -holder.version(need.model()))
				.thenComparingLong((holder) -> holder.otherVersionsSum(need.model()))
				.thenComparingInt(TargetVersions::workCount)
				.thenComparing(TargetVersions::id))
			.limit((long) TURNS * need.loadsPerVersion())
			.toList();
		long atNewest = serving.stream().filter((holder) -> holder.version(need.model()) >= need.newest()).count();
		long unusable = serving.stream().filter((holder) -> isUnusable(holder, need)).count();
		long turn = Math.max(unusable, need.loadsPerVersion() - atNewest);
		return serving.stream()
			.filter((holder) -> holder.version(need.model()) < need.newest())
			.sorted(Comparator.comparingLong((TargetVersions holder) -> holder.version(need.model()))
				.thenComparingInt(TargetVersions::workCount)
				.thenComparing(TargetVersions::id))
			.limit(Math.max(0, turn))
			.map((holder) -> new Load(holder.id(), isUnusable(holder, need)))
			.toList();
	}

	private static boolean isUnusable(TargetVersions holder, Demand need) {
		return holder.version(need.model()) < need.oldestUsable();
	}

	/**
	 * What a model needs.
	 *
	 * @param model the model
	 * @param newest the newest version that was announced
	 * @param oldestUsable the oldest version that serves the next step
	 * @param loadsPerVersion how many targets load each version
	 */
	public record Demand(String model, long newest, long oldestUsable, int loadsPerVersion) {
	}

	/**
	 * A target that is to load.
	 *
	 * @param id the id of the target
	 * @param urgent true if it cannot serve the next step before
	 */
	public record Load(String id, boolean urgent) {
	}

}
