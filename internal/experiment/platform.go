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

// deployment is a started deployment.
type deployment struct {
	plan       *deploymentPlan
	programDir string // Directory of the programs.
	dir        string // Directory of settings and logs.
	platform   *Process
	instances  []*Process // In the order of plan.instances.
	targets    []*Process

	longestShutdown time.Duration // Longest planned stop, look-up lifetime included.
}

// startDeployment starts a deployment. The caller closes it also after an error.
func startDeployment(o Options, dir string) (*deployment, error) {
	r := &deployment{programDir: o.ProgramDir, dir: dir}
	var err error
	if o.KeyFile, err = copyKey(o.KeyFile, dir); err != nil {
		return r, err
	}
	key, err := ctl.LoadKey(o.KeyFile)
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
	if err := r.plan.writeFiles(dir); err != nil {
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

func (r *deployment) startProgram(name, program string, args ...string) (*Process, error) {
	return startProcess(r.dir, name, filepath.Join(r.programDir, program), args...)
}

func (r *deployment) startStandIns(o Options) (err error) {
	r.platform, err = r.startProgram("platform", "jacinth-platform", "--address", r.plan.platform, "--key", o.KeyFile,
		"--instances", filepath.Join(r.dir, "instances.json"), "--document", filepath.Join(r.dir, "policy.json"))
	if err != nil {
		return err
	}
	for _, t := range r.plan.targets {
		p, err := r.startProgram(t.Name, "jacinth-target", "--name", t.Name, "--address", t.Address,
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

func (r *deployment) startInstances() error {
	for _, n := range r.plan.instances {
		p, err := r.startProgram(n.settings.Name, "jacinthd", "--settings", n.settingsFile)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, p)
	}
	for i := range r.instances {
		if err := r.waitInstanceReady(i); err != nil {
			return err
		}
	}
	return nil
}

func (r *deployment) waitInstanceReady(i int) error {
	s := r.plan.instances[i].settings
	return waitReady(s.Name, "http://"+s.OperatorAddress+"/ready")
}

// restartInstance starts an instance that has ended and waits until it is ready.
func (r *deployment) restartInstance(i int) error {
	if err := r.instances[i].Start(); err != nil {
		return err
	}
	return r.waitInstanceReady(i)
}

func (r *deployment) setPlatformFaults(f platformd.Faults) error {
	return callControlRoute(http.MethodPut, "http://"+r.plan.platform+"/admin/faults", f, nil)
}

func (r *deployment) crashTarget(i int) error {
	err := callControlRoute(http.MethodPost, "http://"+r.plan.targets[i].Address+"/-/crash", nil, nil)
	if _, ok := err.(*StatusError); ok {
		return err
	}
	return nil // The crash resets the connection of this call too.
}

func (r *deployment) targetReports() ([]TargetReport, error) {
	var list []TargetReport
	for _, t := range r.plan.targets {
		if err := waitReady(t.Name, "http://"+t.Address+"/-/health"); err != nil {
			return nil, err
		}
		report := TargetReport{Name: t.Name, Domain: t.Domain}
		if err := callControlRoute(http.MethodGet, "http://"+t.Address+"/-/executed", nil, &report.Report); err != nil {
			return nil, err
		}
		list = append(list, report)
	}
	return list, nil
}

// close ends all processes that were started.
func (r *deployment) close() {
	for _, p := range append(append([]*Process{r.platform}, r.instances...), r.targets...) {
		if p != nil {
			p.close()
		}
	}
}
