package org.zinniatack.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.membership.Recovery;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.Settings;
import org.zinniatack.store.ReplicaStore;

/**
 * Recovers the replicated state from the data folder of one control process after a
 * majority of the data folders is lost for good.
 */
@CommandLine.Command(name = "recover", mixinStandardHelpOptions = true,
		description = {
				"Makes one stopped control process the sole voter, after a majority of the data folders is lost.",
				"Shows what the folder holds, and changes it only with --accept-loss. Empty the other folders first." })
final class RecoverCommand implements Callable<Integer> {

	@CommandLine.Option(names = "--settings", required = true, description = "the settings file of the control process")
	private Path settings;

	@CommandLine.Option(names = "--accept-loss",
			description = "recover although the changes that only the lost processes stored are gone")
	private boolean lossAccepted;

	@Override
	public Integer call() throws ServiceException {
		ControlSettings controlSettings = Settings.read(this.settings, ControlSettings.class);
		Path dataFolder = Path.of(controlSettings.dataFolder());
		if (!Files.isDirectory(dataFolder)) {
			throw ServiceException.of(ResultCode.FOLDER_EMPTY, "the data folder " + dataFolder + " does not exist");
		}
		try (ReplicaStore store = ReplicaStore.open(dataFolder, controlSettings.name())) {
			PersistentState persistedState = store.load();
			var effects = Recovery.forceSoleVoter(persistedState, store.replicaId());
			System.out.println("replica=" + store.replicaId() + " newest_index=" + Recovery.lastIndex(persistedState)
					+ " term=" + persistedState.hardState().term());
			if (!this.lossAccepted) {
				System.out.println("nothing was changed; of several folders take the one with the newest index, "
						+ "empty the others, and repeat with --accept-loss");
				return CommandLine.ExitCode.OK;
			}
			store.persist(effects);
			System.out.println("recovered as the sole voter; start it, then the others with empty folders");
			return CommandLine.ExitCode.OK;
		}
	}

}
