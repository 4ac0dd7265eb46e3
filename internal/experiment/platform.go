package experiment

import (
	"encoding/base64"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jacinthstall/jacinthstall/configsync"
	"github.com/jacinthstall/jacinthstall/internal/ctl"
	"github.com/jacinthstall/jacinthstall/standin/platformd"
)

// running is a started deployment.
type running struct {
	plan      *deployment
	programs  string // Directory of the programs.
	dir       string // Directory of settings and logs.
	platform  *Process
	instances []*Process // In the order of plan.instances.
	targets   []*Process

	longestStop time.Duration // Longest planned stop, look-up lifetime included.
}

// startAll starts a deployment. The caller closes it also after an error.
func startAll(o Options, dir string) (*running, error) {
	r := &running{programs: o.Programs, dir: dir}
	var err error
	if o.Key, err = copyKey(o.Key, dir); err != nil {
		return r, err
	}
	key, err := ctl.LoadKey(o.Key)
	if err != nil {
		return r, err
	}
	if r.plan, err = o.Layout.plan(); err != nil {
		return r, err
	}
	public := base64.StdEncoding.EncodeToString(configsync.PublicKey(key))
	for i := range r.plan.instances {
		r.plan.instances[i].settings.OperatorKeys = []string{public}
	}
	if err := r.plan.write(dir); err != nil {
		return r, err
	}
	if err := r.startStandIns(o); err != nil {
		return r, err
	}
	return r, r.startInstances()
}

// copyKey copies a key file so that only its owner may read it, which a checkout
// does not keep.
func copyKey(file, dir string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	private := filepath.Join(dir, "operator.key")
	return private, os.WriteFile(private, data, 0o600)
}

func (r *running) start(name, program string, args ...string) (*Process, error) {
	return startProcess(r.dir, name, filepath.Join(r.programs, program), args...)
}

func (r *running) startStandIns(o Options) (err error) {
	r.platform, err = r.start("platform", "jacinth-platform", "--address", r.plan.platform, "--key", o.Key,
		"--instances", filepath.Join(r.dir, "instances.json"), "--document", filepath.Join(r.dir, "policy.json"))
	if err != nil {
		return err
	}
	for _, t := range r.plan.targets {
		p, err := r.start(t.Name, "jacinth-target", "--name", t.Name, "--address", t.Address,
			"--slots", strconv.Itoa(t.Slots), "--service", o.Layout.serviceTime(t.Service))
		if err != nil {
			return err
		}
		r.targets = append(r.targets, p)
	}
	for _, t := range r.plan.targets {
		if err := waitReady(t.Name, "http://"+t.Address+"/-/health"); err != nil {
			return err
		}
	}
	return waitReady("platform", "http://"+r.plan.platform+"/admin/calls")
}

func (l Layout) serviceTime(service string) string {
	for _, s := range l.Services {
		if s.Name == service {
			return s.ServiceTime
		}
	}
	return "0s"
}

func (r *running) startInstances() error {
	for _, n := range r.plan.instances {
		p, err := r.start(n.settings.Name, "jacinthd", "--settings", n.file)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, p)
	}
	for i := range r.instances {
		if err := r.waitInstance(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *running) waitInstance(i int) error {
	s := r.plan.instances[i].settings
	return waitReady(s.Name, "http://"+s.OperatorAddress+"/ready")
}

// restart starts an instance that has ended and waits until it is ready.
func (r *running) restart(i int) error {
	if err := r.instances[i].Start(); err != nil {
		return err
	}
	return r.waitInstance(i)
}

func (r *running) platformFaults(f platformd.Faults) error {
	return control(http.MethodPut, "http://"+r.plan.platform+"/admin/faults", f, nil)
}

func (r *running) crashTarget(i int) error {
	err := control(http.MethodPost, "http://"+r.plan.targets[i].Address+"/-/crash", nil, nil)
	if _, ok := err.(*StatusError); ok {
		return err
	}
	return nil // The crash resets the connection of this call too.
}

func (r *running) reports() ([]TargetReport, error) {
	var list []TargetReport
	for _, t := range r.plan.targets {
		if err := waitReady(t.Name, "http://"+t.Address+"/-/health"); err != nil {
			return nil, err
		}
		report := TargetReport{Name: t.Name, Domain: t.Domain}
		if err := control(http.MethodGet, "http://"+t.Address+"/-/executed", nil, &report.Report); err != nil {
			return nil, err
		}
		list = append(list, report)
	}
	return list, nil
}

// close ends all processes that were started.
func (r *running) close() {
	for _, p := range append(append([]*Process{r.platform}, r.instances...), r.targets...) {
		if p != nil {
			p.close()
		}
	}
}
