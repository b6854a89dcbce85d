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
 * Orders reboots of VMs from the platform.
 *
 * <p>Orders are idempotent: the identifier of an order is derived from the ticket and the VM, so a
 * repeated order, also one of a later leader, is the same order. An order is repeated until the
 * platform reports that it is done.
 */
public final class PlatformClient {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int TIMEOUT_MILLIS = 2_000;

  private final DaemonSettings settings;
  private final HttpClient client;
  private final Set<String> rebootedVms = ConcurrentHashMap.newKeySet();
  private final Map<String, Boolean> inFlightByVm = new ConcurrentHashMap<>();

  /** Creates a client for the platform given in the settings. */
  public PlatformClient(Vertx vertx, DaemonSettings settings) {
    this.settings = settings;
    this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(TIMEOUT_MILLIS));
  }

  /** Returns whether the platform has reported the ordered reboot of the VM as done. */
  public boolean isRebooted(String vm) {
    return rebootedVms.contains(vm);
  }

  /** Orders the pending reboots if this node is the leader. Called periodically. */
  public Uni<Void> poll(ControlNode node) {
    return node.view()
        .onItem()
        .transformToUni(
            view ->
                view.inOffice()
                    ? node.read(this::pendingOrders).invoke(orders -> orders.forEach(this::order))
                    : Uni.createFrom().item(Map.<String, String>of()))
        .replaceWithVoid();
  }

  private Map<String, String> pendingOrders(ControlState state) {
    Map<String, String> orderByVm = new ConcurrentHashMap<>();
    for (Vm vm : state.fleet().vms()) {
      if (vm.phase() == VmPhase.REBOOTING) {
        orderByVm.put(vm.name(), "reboot-" + vm.rebootTicket() + "-" + vm.name());
      }
    }
    rebootedVms.retainAll(orderByVm.keySet());
    orderByVm.keySet().removeAll(rebootedVms);
    return orderByVm;
  }

  private void order(String vm, String orderId) {
    if (settings.text(SettingKey.PLATFORM_HOST).isEmpty()) {
      logger.atWarning().log("reboot-impossible vm=%s reason=no-platform-in-settings", vm);
      return;
    }
    if (inFlightByVm.putIfAbsent(vm, true) != null) {
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
        .invoke(() -> inFlightByVm.remove(vm))
        .subscribe()
        .with(
            body -> onReport(vm, new JsonObject(body.getDelegate())),
            failure -> logger.atInfo().log("platform-request-failed vm=%s reason=%s", vm, failure));
  }

  private void onReport(String vm, JsonObject report) {
    if ("done".equals(report.getString("state"))) {
      rebootedVms.add(vm);
    }
  }
}
