package org.zinniatack.direct.weight;

/**
 * Moves what a load of weights would pause.
 */
@FunctionalInterface
public interface LongItemMover {

	/**
	 * Lets the long runs of a model go on at other targets, as far as those have room.
	 * @param targetId the id of the target that is about to load the model
	 * @param model the model
	 */
	void moveLongItems(String targetId, String model);

}
