package org.plantainknot.daemon.platform;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpClient;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.plantainknot.core.control.ControlState;
import org.plantainknot.core.fleet.Vm;
import org.plantainknot.core.fleet.VmPhase;
import org.plantainknot.daemon.control.ControlNode;
import org.plantainknot.daemon.settings.DaemonSettings;
import org.plantainknot.daemon.settings.SettingKey;

/**
 * Orders reboots from the platform.
 *
 * <p>Each order carries an identifier made of the ticket and the VM, so that one that is repeated,
 * also by a later leader, is the same order. It is repeated until the platform reports it as done.
 */
public final class PlatformClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TIMEOUT_MILLIS = 2_000;

  private final DaemonSettings settings;
  private final HttpClient client;
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  private final Map<String, Boolean> inFlight = new ConcurrentHashMap<>();

  /** Creates a client of the platform that the settings name. */
  public PlatformClient(Vertx vertx, DaemonSettings settings) {
    this.settings = settings;
    this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(TIMEOUT_MILLIS));
  }

  /** Returns whether the platform has reported the reboot of the VM as done. */
  public boolean isRebooted(String vm) {
    return done.contains(vm);
  }

  /** Orders what the state asks for; called from time to time while this node leads. */
  public Uni<Void> poll(ControlNode node) {
    return node.view()
        .onItem()
        .transformToUni(
            view ->
                view.inOffice()
                    ? node.read(this::pending).invoke(orders -> orders.forEach(this::order))
                    : Uni.createFrom().item(Map.<String, String>of()))
        .replaceWithVoid();
  }

  private Map<String, String> pending(ControlState state) {
    Map<String, String> orderByVm = new ConcurrentHashMap<>();
    for (Vm vm : state.fleet().vms()) {
      if (vm.phase() == VmPhase.REBOOTING) {
        orderByVm.put(vm.name(), "reboot-" + vm.rebootTicket() + "-" + vm.name());
      }
    }
    done.retainAll(orderByVm.keySet());
    orderByVm.keySet().removeAll(done);
    return orderByVm;
  }

  private void order(String vm, String orderId) {
    if (settings.text(SettingKey.PLATFORM_HOST).isEmpty()) {
      logger.atWarning().log("reboot-impossible vm=%s reason=no-platform-in-settings", vm);
      return;
    }
    if (inFlight.putIfAbsent(vm, true) != null) {
      return;
    }
    RequestOptions options =
        new RequestOptions()
            .setHost(settings.text(SettingKey.PLATFORM_HOST))
            .setPort((int) settings.number(SettingKey.PLATFORM_PORT))
            .setMethod(HttpMethod.PUT)
            .setURI("/vms/" + vm + "/reboots/" + orderId)
            .setTimeout(TIMEOUT_MILLIS);
    client
        .request(options)
        .onItem()
        .transformToUni(request -> request.send())
        .onItem()
        .transformToUni(response -> response.body())
        .onTermination()
        .invoke(() -> inFlight.remove(vm))
        .subscribe()
        .with(
            body -> onReport(vm, new JsonObject(body.getDelegate())),
            failure -> logger.atInfo().log("platform-failed vm=%s reason=%s", vm, failure));
  }

  private void onReport(String vm, JsonObject report) {
    if ("done".equals(report.getString("state"))) {
      done.add(vm);
    }
  }
}
