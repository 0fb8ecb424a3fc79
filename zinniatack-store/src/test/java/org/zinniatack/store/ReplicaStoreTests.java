package org.zinniatack.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.ConsensusMessage;
import org.zinniatack.core.consensus.Effects;
import org.zinniatack.core.consensus.HardState;
import org.zinniatack.core.consensus.LogEntry;
import org.zinniatack.core.consensus.Membership;
import org.zinniatack.core.consensus.PersistentState;
import org.zinniatack.core.consensus.Snapshot;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests recovery of a data folder after crashes, torn writes, corruption and a full disk.
 */
class ReplicaStoreTests {

	@TempDir
	private Path folder;

	private static Effects appendEffects(long term, long... indexes) {
		List<LogEntry> entries = Arrays.stream(indexes)
			.mapToObj((index) -> LogEntry.command(index, term, new byte[] { (byte) index }))
			.toList();
		return new Effects(new HardState(term, "a"), null, 0, entries, List.of(), List.of());
	}

	private ReplicaStore initializedStore() throws ServiceException {
		ReplicaStore store = ReplicaStore.open(this.folder, "a");
		store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
		return store;
	}

	private static final ReplicaStore.SnapshotEncoder EMPTY = (output) -> {
	};

	private PersistentState reload() throws ServiceException {
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			return store.load();
		}
	}

	private byte[] encoded(Snapshot snapshot) throws ServiceException, IOException {
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a");
				InputStream stream = store.openSnapshot(snapshot)) {
			return stream.readAllBytes();
		}
	}

	private static ConsensusMessage.SnapshotPart part(Snapshot snapshot, long offset, byte[] bytes) {
		return new ConsensusMessage.SnapshotPart("b", "a", 2, snapshot, offset, bytes.length, bytes, 0);
	}

	private static Effects partEffects(ConsensusMessage.SnapshotPart... parts) {
		return new Effects(null, null, 0, List.of(), List.of(), List.of(), List.of(parts));
	}

	private static List<Long> indexes(PersistentState state) {
		return state.entries().stream().map(LogEntry::index).toList();
	}

	private Path journalFile() throws IOException {
		try (var files = Files.list(this.folder)) {
			return files.filter((file) -> file.getFileName().toString().startsWith("journal-"))
				.findFirst()
				.orElseThrow();
		}
	}

	private ResultCode openFailure() {
		try {
			reload();
			return ResultCode.OK;
		}
		catch (ServiceException ex) {
			return ex.code();
		}
	}

	@Test
	void whatWasPersistedIsThereAfterARestart() throws ServiceException {
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3));
			store.persist(new Effects(new HardState(2, ""), null, 3, List.of(LogEntry.command(3, 2, new byte[] { 9 })),
					List.of(), List.of()));
		}
		PersistentState state = reload();
		assertThat(indexes(state), is(List.of(1L, 2L, 3L)));
		assertThat(state.entries().get(2).term(), is(2L));
		assertThat(state.hardState(), equalTo(new HardState(2, "")));
	}

	/**
	 * Guards against a folder that a kill while a system is formed or joined leaves
	 * unreadable, or without the memory that it may form one.
	 */
	@Test
	void aKillAtAnyByteOfAFormationOrJoiningLeavesAFolderToStartFrom() throws ServiceException, IOException {
		Set<String> founders = Set.of("a", "b");
		for (PersistentState state : List.of(PersistentState.empty(),
				PersistentState.bootstrap(Membership.ofVoters(founders)))) {
			Map<String, byte[]> written = new LinkedHashMap<>();
			try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
				store.rememberFounders(founders);
				store.initialize(state);
			}
			for (String name : List.of("identity", "founders", "journal-1")) {
				written.put(name, Files.readAllBytes(this.folder.resolve(name)));
			}
			for (String cut : written.keySet()) {
				for (int length = 0; length <= written.get(cut).length; length++) {
					leaveCut(written, cut, length);
					startFromCut(state, founders, cut);
				}
			}
			emptyFolder();
		}
	}

	/** Leaves the folder as it is while one of the files is written. */
	private void leaveCut(Map<String, byte[]> written, String cut, int length) throws IOException {
		emptyFolder();
		for (Map.Entry<String, byte[]> file : written.entrySet()) {
			if (file.getKey().equals(cut)) {
				Files.write(this.folder.resolve(cut + ".tmp"), Arrays.copyOf(file.getValue(), length));
				break;
			}
			Files.write(this.folder.resolve(file.getKey()), file.getValue());
		}
		if (!cut.equals("identity") && length % 2 == 0) {
			Files.createFile(this.folder.resolve("journal-0"));
		}
	}

	private void startFromCut(PersistentState state, Set<String> founders, String cut) throws ServiceException {
		String id;
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			id = store.replicaId();
			assertThat(store.isInitialized(), is(false));
			assertThat(store.founders(), is(cut.equals("journal-1") ? founders : Set.of()));
			store.initialize(state);
		}
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			assertThat(store.replicaId(), is(id));
			PersistentState loaded = store.load();
			assertThat(loaded.hardState(), equalTo(state.hardState()));
			assertThat(loaded.snapshot().index(), is(state.snapshot().index()));
			assertThat(members(loaded), is(members(state)));
		}
	}

	private static List<Membership> members(PersistentState state) {
		return state.entries().stream().map(LogEntry::membership).toList();
	}

	private void emptyFolder() throws IOException {
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
	}

	@Test
	void theIdentityLivesOnTheDisk() throws ServiceException, IOException {
		String id;
		try (ReplicaStore store = initializedStore()) {
			id = store.replicaId();
		}
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			assertThat(store.replicaId(), is(id));
			assertThat(store.isInitialized(), is(true));
		}
		emptyFolder();
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			assertThat(store.replicaId(), not(id));
			assertThat(store.isInitialized(), is(false));
		}
	}

	@Test
	void aTornTailIsCutAtEveryLengthAndWritingGoesOn() throws Exception {
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2));
		}
		byte[] whole = Files.readAllBytes(journalFile());
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			store.persist(appendEffects(1, 3));
		}
		byte[] longer = Files.readAllBytes(journalFile());
		for (int length = whole.length; length < longer.length; length++) {
			Files.write(journalFile(), Arrays.copyOf(longer, length));
			try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
				assertThat(indexes(store.load()), is(List.of(1L, 2L)));
				store.persist(appendEffects(1, 3));
			}
			assertThat(indexes(reload()), is(List.of(1L, 2L, 3L)));
		}
	}

	@Test
	void corruptionBeforeTheEndIsRefusedAtEveryByte() throws Exception {
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2));
			store.persist(appendEffects(1, 3));
		}
		byte[] bytes = Files.readAllBytes(journalFile());
		int lastRecord = Records
			.encode(new Batch(new HardState(1, "a"), -1, 0, 0, appendEffects(1, 3).entries()).encode())
			.remaining();
		for (int offset = 0; offset < bytes.length - lastRecord; offset++) {
			byte[] corrupt = bytes.clone();
			corrupt[offset] ^= 0x20;
			Files.write(journalFile(), corrupt);
			assertThat("byte " + offset, openFailure(), is(ResultCode.LOG_CORRUPT));
		}
	}

	@Test
	void aSnapshotReplacesTheEntriesThatItCovers() throws Exception {
		Membership members = Membership.ofVoters(List.of("a"));
		byte[] encoded = new byte[3 * Snapshot.PART_BYTES + 7];
		new Random(1).nextBytes(encoded);
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3, 4));
			Snapshot snapshot = store.prepareSnapshot(new Snapshot(3, 1, members, 0),
					(output) -> output.write(encoded));
			store.saveSnapshot(snapshot, List.of(LogEntry.command(4, 1, new byte[] { 4 })));
			store.persist(appendEffects(1, 5));
		}
		PersistentState state = reload();
		assertThat(state.snapshot().index(), is(3L));
		assertThat(encoded(state.snapshot()), is(encoded));
		assertThat(indexes(state), is(List.of(4L, 5L)));
	}

	@Test
	void aReceivedSnapshotHoldsTheBytesThatItsSenderReadFromItsOwn(@TempDir Path other)
			throws ServiceException, IOException {
		byte[] encoded = new byte[2 * Snapshot.PART_BYTES + 11];
		new Random(2).nextBytes(encoded);
		Snapshot sent;
		try (ReplicaStore sender = ReplicaStore.open(other, "b"); ReplicaStore store = initializedStore()) {
			sent = sender.prepareSnapshot(new Snapshot(9, 2, Membership.ofVoters(List.of("b")), 0),
					(output) -> output.write(encoded));
			// A transfer that was broken off and begins anew.
			store.persist(partEffects(part(sent, 0, sender.readSnapshotPart(sent, 0, Snapshot.PART_BYTES))));
			for (long offset = 0; offset < encoded.length; offset += Snapshot.PART_BYTES) {
				int length = (int) Math.min(Snapshot.PART_BYTES, encoded.length - offset);
				store.persist(partEffects(part(sent, offset, sender.readSnapshotPart(sent, offset, length))));
			}
			store.persist(new Effects(new HardState(2, ""), sent, 0, List.of(), List.of(), List.of()));
			store.persist(appendEffects(2, 10));
		}
		PersistentState state = reload();
		assertThat(state.snapshot(), is(sent));
		assertThat(encoded(sent), is(encoded));
		assertThat(indexes(state), is(List.of(10L)));
	}

	// Guards against a folder that an earlier version wrote and this one cannot read.
	@Test
	void aSnapshotOfAnEarlierVersionIsReadAndReplaced() throws Exception {
		initializedStore().close();
		byte[] encoded = { 1, 2, 3 };
		byte[] record = new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(
				Map.of("index", 1, "term", 0, "membership", Membership.ofVoters(List.of("a")), "state", encoded));
		Files.write(this.folder.resolve("snapshot-1"), Records.encode(record).array());
		for (int start = 0; start < 2; start++) {
			Snapshot snapshot = reload().snapshot();
			assertThat(snapshot, is(new Snapshot(1, 0, Membership.ofVoters(List.of("a")), encoded.length)));
			assertThat(encoded(snapshot), is(encoded));
		}
	}

	@Test
	void theJournalsBeforeTheOneOfASnapshotAreDeletedWithIt() throws Exception {
		Snapshot header = new Snapshot(3, 1, Membership.ofVoters(List.of("a")), 0);
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3));
			assertThat(store.startJournal(), is(3L));
			store.persist(appendEffects(1, 4));
			Snapshot prepared = store.prepareSnapshot(header, EMPTY);
			store.persist(appendEffects(1, 5));
			long before = store.journalBytes();
			store.commitSnapshot(prepared);
			assertThat(store.journalBytes() < before, is(true));
			store.persist(appendEffects(1, 6));
		}
		assertThat(indexes(reload()), is(List.of(4L, 5L, 6L)));
	}

	// Guards against an acknowledged entry that a later start truncates, since a journal
	// that could not be opened was read behind it.
	@Test
	void aJournalThatCouldNotBeStartedTakesNoLaterEntryAway() throws Exception {
		AtomicBoolean failing = new AtomicBoolean();
		try (FolderStore store = FolderStore.open(this.folder, "a", (file) -> {
			if (failing.get() && !file.toString().endsWith(".tmp")) {
				throw new IOException("too many open files");
			}
			return JournalFile.open(file);
		})) {
			store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
			store.persist(appendEffects(1, 2));
			failing.set(true);
			try {
				store.startJournal();
				throw new AssertionError("the journal was started");
			}
			catch (ServiceException ex) {
				assertThat(ex.code(), is(ResultCode.DISK_FULL));
			}
			store.persist(appendEffects(1, 3));
			failing.set(false);
			store.persist(appendEffects(1, 4));
		}
		assertThat(indexes(reload()), is(List.of(1L, 2L, 3L, 4L)));
	}

	@Test
	void aCrashAfterANewJournalBeganLosesNothing() throws Exception {
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3));
			store.startJournal();
			store.persist(appendEffects(1, 4));
			store.persist(new Effects(new HardState(2, ""), null, 3, List.of(LogEntry.command(3, 2, new byte[] { 9 })),
					List.of(), List.of()));
		}
		PersistentState state = reload();
		assertThat(indexes(state), is(List.of(1L, 2L, 3L)));
		assertThat(state.entries().get(2).term(), is(2L));
		assertThat(state.hardState(), equalTo(new HardState(2, "")));
	}

	@Test
	void aCrashBetweenSnapshotAndJournalLosesNothing() throws Exception {
		Membership members = Membership.ofVoters(List.of("a"));
		byte[] oldJournal;
		Path oldName;
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3, 4));
			oldName = journalFile();
			oldJournal = Files.readAllBytes(oldName);
			store.saveSnapshot(store.prepareSnapshot(new Snapshot(3, 1, members, 0), EMPTY),
					List.of(LogEntry.command(4, 1, new byte[] { 4 })));
		}
		Files.delete(journalFile());
		Files.write(oldName, oldJournal);
		assertThat(indexes(reload()), is(List.of(4L)));
	}

	@Test
	void entriesThatDoNotContinueAReceivedSnapshotAreDropped() throws Exception {
		byte[] oldJournal;
		Path oldName;
		try (ReplicaStore store = initializedStore()) {
			store.persist(appendEffects(1, 2, 3, 4));
			oldName = journalFile();
			oldJournal = Files.readAllBytes(oldName);
			Snapshot received = new Snapshot(3, 2, Membership.ofVoters(List.of("a")), 1);
			store.persist(new Effects(new HardState(2, ""), received, 0, List.of(), List.of(), List.of(),
					List.of(part(received, 0, new byte[1]))));
		}
		Files.delete(journalFile());
		Files.write(oldName, oldJournal);
		assertThat(indexes(reload()), is(List.of()));
		// Guards against entries behind the snapshot that the next start drops as well.
		try (ReplicaStore store = ReplicaStore.open(this.folder, "a")) {
			store.load();
			store.persist(appendEffects(2, 4));
		}
		assertThat(indexes(reload()), is(List.of(4L)));
	}

	@Test
	void aFolderInUseIsRefused() throws ServiceException {
		try (ReplicaStore store = initializedStore()) {
			assertThat(openFailure(), is(ResultCode.FOLDER_LOCKED));
		}
		assertThat(openFailure(), is(ResultCode.OK));
	}

	@Test
	void anUnknownFormatIsRefused() throws Exception {
		initializedStore().close();
		Files.writeString(this.folder.resolve("identity"), "99\na.1\n", StandardOpenOption.TRUNCATE_EXISTING);
		assertThat(openFailure(), is(ResultCode.FORMAT_UNKNOWN));
	}

	@Test
	void aFullDiskRefusesWritesAndKeepsWhatIsThere() throws Exception {
		FullDisk disk = new FullDisk();
		try (FolderStore store = FolderStore.open(this.folder, "a", disk::open)) {
			store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
			store.persist(appendEffects(1, 2));
			disk.full = true;
			try {
				store.persist(appendEffects(1, 3));
				throw new AssertionError("the write was accepted");
			}
			catch (ServiceException ex) {
				assertThat(ex.code(), is(ResultCode.DISK_FULL));
			}
			assertThat(indexes(store.load()), is(List.of(1L, 2L)));
			disk.full = false;
			store.persist(appendEffects(1, 3));
		}
		assertThat(indexes(reload()), is(List.of(1L, 2L, 3L)));
	}

	// Guards against a full disk that stays full, since the half of a snapshot fills it.
	@Test
	void aDiskThatFillsDuringASnapshotKeepsWhatIsThereAndNothingOfTheSnapshot() throws Exception {
		FullDisk disk = new FullDisk();
		Snapshot header = new Snapshot(2, 1, Membership.ofVoters(List.of("a")), 0);
		try (FolderStore store = FolderStore.open(this.folder, "a", disk::open)) {
			store.initialize(PersistentState.bootstrap(Membership.ofVoters(List.of(store.replicaId()))));
			store.persist(appendEffects(1, 2, 3));
			List<Path> before = files();
			disk.full = true;
			try {
				store.prepareSnapshot(header, (output) -> output.write(new byte[1 << 20]));
				throw new AssertionError("the snapshot was written");
			}
			catch (ServiceException ex) {
				assertThat(ex.code(), is(ResultCode.DISK_FULL));
			}
			assertThat(files(), is(before));
			disk.full = false;
			assertThat(indexes(store.load()), is(List.of(1L, 2L, 3L)));
			store.saveSnapshot(store.prepareSnapshot(header, EMPTY), List.of(LogEntry.command(3, 1, new byte[] { 3 })));
		}
		assertThat(indexes(reload()), is(List.of(3L)));
	}

	// Guards against a folder that grows at each loss of power during a snapshot.
	@Test
	void whatAProcessThatEndedLeftHalfWrittenIsDeleted() throws Exception {
		initializedStore().close();
		List<Path> before = files();
		Files.write(this.folder.resolve("snapshot-7.tmp"), new byte[] { 1 });
		assertThat(indexes(reload()), is(List.of(1L)));
		assertThat(files(), is(before));
	}

	private List<Path> files() throws IOException {
		try (var files = Files.list(this.folder)) {
			return files.sorted().toList();
		}
	}

	/** A disk that, while full, writes half of each record and then fails. */
	private static final class FullDisk {

		private boolean full;

		Journal open(Path file) throws IOException {
			Journal journal = JournalFile.open(file);
			return new Journal() {
				@Override
				public void append(ByteBuffer bytes) throws IOException {
					if (FullDisk.this.full) {
						journal.append(bytes.slice(0, bytes.remaining() / 2));
						throw new IOException("no space left");
					}
					journal.append(bytes);
				}

				@Override
				public void close() throws IOException {
					journal.close();
				}

				@Override
				public void sync() throws IOException {
					journal.sync();
				}

				@Override
				public void truncate(long length) throws IOException {
					journal.truncate(length);
				}
			};
		}

	}

}
