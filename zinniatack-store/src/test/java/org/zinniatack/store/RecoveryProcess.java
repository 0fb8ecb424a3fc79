package org.zinniatack.store;

import java.nio.file.Path;

import org.zinniatack.core.result.ServiceException;

/**
 * A process that loads a data folder and prints how many entries it has restored.
 */
public final class RecoveryProcess {

	private RecoveryProcess() {
	}

	/**
	 * Loads the folder that the first argument names.
	 * @param arguments the folder
	 * @throws ServiceException if the folder cannot be loaded
	 */
	public static void main(String[] arguments) throws ServiceException {
		try (ReplicaStore store = ReplicaStore.open(Path.of(arguments[0]), "a")) {
			System.out.print(store.load().entries().size());
		}
	}

}
