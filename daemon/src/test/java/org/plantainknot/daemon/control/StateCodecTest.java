package org.plantainknot.daemon.control;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.List;
import org.plantainknot.core.claim.Claim;
import org.plantainknot.core.claim.ClaimKey;
import org.plantainknot.core.claim.ClaimLimits;
import org.plantainknot.core.claim.ClaimOutcome;
import org.plantainknot.core.claim.StoredAnswer;
import org.plantainknot.core.control.Command;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.control.MoveStep;
import org.plantainknot.core.fleet.Announcement;
import org.plantainknot.core.fleet.FailureDomain;
import org.plantainknot.core.job.Job;
import org.plantainknot.core.job.JobSpec;
import org.plantainknot.core.job.JobStatus;
import org.plantainknot.core.job.Schedule;
import org.plantainknot.core.job.StepSpec;
import org.plantainknot.core.ticket.Decision;
import org.plantainknot.core.ticket.Ticket;
import org.plantainknot.core.ticket.Ticket.PoolState;
import org.plantainknot.core.ticket.Ticket.ServiceState;
import org.plantainknot.core.ticket.Ticket.VmState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that commands and states are unchanged by encoding and decoding. */
public class StateCodecTest {

  private static final Ticket TICKET =
      new Ticket(
          7,
          Ticket.ON_APPROVAL,
          "note",
          List.of(new PoolState("p")),
          List.of(new ServiceState("s", "p", 0, FailureDomain.RACK, null)),
          List.of(new VmState("vm1", "p")),
          null);
  private static final Announcement ANNOUNCEMENT =
      new Announcement("i1", "127.0.0.1", 80, "dc1", "r1", 8, 64);
  private static final Claim CLAIM =
      new Claim(new ClaimKey("c", "r"), "hash", 500, "g", "a", ClaimOutcome.OPEN, null);

  @DataProvider
  Object[][] commands() {
    return new Object[][] {
      {new Command.FileTicket(TICKET, "anna")},
      {new Command.DecideTicket(7, Decision.APPROVE, "anna")},
      {new Command.StartTicket(7)},
      {new Command.MarkInForce(7)},
      {new Command.Announce("vm1", ANNOUNCEMENT)},
      {new Command.MarkGone("vm1", "i1")},
      {new Command.StepVm("vm1", MoveStep.LEAVE)},
      {new Command.OpenClaim(CLAIM)},
      {new Command.CloseClaim(CLAIM.key(), "a", ClaimOutcome.NOT_RUN, null)},
      {new Command.GatewayUp("n1", "n1-a")},
      {new Command.GatewayDown("n1", "n1-a", true)},
      {new Command.SettleShares(3)},
    };
  }

  @Test(dataProvider = "commands")
  void commandsAreUnchangedByEncodingAndDecoding(Command command) {
    assertEquals(StateCodec.decodeCommand(StateCodec.encode(command)), command);
  }

  @Test
  void aStateIsUnchangedByEncodingAndDecoding() {
    ControlState state = new ControlState(ClaimLimits.DEFAULT);
    int index = 0;
    for (Object[] row : commands()) {
      index++;
      state.apply(index, 400, "c" + index, (Command) row[0]);
    }
    StoredAnswer answer = new StoredAnswer(200, "text/plain", new byte[] {1, 2, 3});
    state.apply(20, 401, "c20", new Command.OpenClaim(CLAIM));
    state.apply(
        21, 402, "c21", new Command.CloseClaim(CLAIM.key(), "a", ClaimOutcome.ANSWERED, answer));
    byte[] encoded = StateCodec.encode(state.image());
    ControlState restored = new ControlState(ClaimLimits.DEFAULT);
    restored.restore(StateCodec.decodeImage(encoded));
    assertEquals(StateCodec.encode(restored.image()), encoded);
  }

  /** Guards against controllers that can't start from the snapshots of the build before. */
  @Test
  void aJobOfAnEarlierBuildIsDecodedWithoutFinishedOccurrences() throws IOException {
    Job.Image image =
        new Job.Image(
            new JobSpec("j", "q", "p", List.of(StepSpec.builder().build()), Schedule.NOW),
            "s",
            1,
            JobStatus.QUEUED,
            0,
            4,
            List.of(6),
            List.of());
    byte[] encoded = StateCodec.write(image);
    assertEquals(StateCodec.read(encoded, Job.Image.class), image);
    ObjectMapper mapper = new ObjectMapper(new CBORFactory());
    ObjectNode earlier = (ObjectNode) mapper.readTree(encoded);
    earlier.remove(List.of("finishedBelow", "finishedOthers"));
    Job.Image decoded = StateCodec.read(mapper.writeValueAsBytes(earlier), Job.Image.class);
    assertEquals(decoded.finishedBelow(), 0);
    assertEquals(decoded.finishedOthers(), List.of());
    assertEquals(decoded.spec(), image.spec());
  }
}
